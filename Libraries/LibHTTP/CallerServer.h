#pragma once

#include <LibHTTP/CallerConnection.h>
#include <LibHTTP/CallerListener.h>
#include <LibHTTP/RequestIdGenerator.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <atomic>
#include <list>
#include <map>
#include <queue>
#include <thread>
#include <unordered_map>

// Internal header of the caller listener.

namespace jaybridge {

/// Accepts the connections of callers and holds what they share: the budgets,
/// the deadlines and the table of open requests.
class CallerServer {
public:
  CallerServer(CallerListenerOptions Options,
               CallerListenerCallbacks Callbacks);
  ~CallerServer() { stop(); }
  CallerServer(const CallerServer &) = delete;
  CallerServer &operator=(const CallerServer &) = delete;

  // Called by any thread.
  Status start();
  void stop();
  void answer(const RequestId &Id, Answer Content,
              ConfigurationVersion Version);
  void closeAfterAnswers();
  void stopAccepting();
  bool waitUntilAnswered(Duration Timeout) {
    return Unwritten_.waitUntilNone(Timeout);
  }
  const Endpoint &address() const { return Address_; }
  CallerListenerCounts counts() const;

  // Called by connections, on the listener's thread.
  const CallerListenerOptions &options() const { return Options_; }
  const CallerListenerCallbacks &callbacks() const { return Callbacks_; }
  RequestId nextRequestId() { return IdGenerator_.next(); }
  UnwrittenAnswers &unwritten() { return Unwritten_; }
  std::array<char, 32UL * 1024> &readBuffer() { return ReadBuffer_; }
  ReceiveBudget &receiveBudget() { return ReceiveBudget_; }
  ReceiveBudget &sendBudget() { return SendBudget_; }
  bool isDraining() const { return IsDraining_; }
  ConfigurationVersion lastVersion() const { return LastVersion_; }
  void count(CallerEvent Event) {
    Counts_[static_cast<std::size_t>(Event)].fetch_add(
        1, std::memory_order_relaxed);
  }
  void addRequest(const RequestId &Id, ConnectionId Connection) {
    Requests_.emplace(Id, Connection);
  }
  void removeRequest(const RequestId &Id) { Requests_.erase(Id); }
  /// Cuts off connections until the budgets are kept again, after this one has
  /// grown.
  void enforceReceiveBudget(ConnectionId Growing, TimePoint Now);
  void enforceSendBudget(ConnectionId Growing, TimePoint Now);
  /// Reports when the state of the receive budget changes.
  void reportBudgetState();
  void setIdle(ConnectionId Id, bool IsIdle);
  /// Wakes the thread when the deadline of the connection may be due.
  void schedule(ConnectionId Id, std::optional<TimePoint> Deadline);
  void remove(ConnectionId Id);

private:
  struct Entry {
    std::shared_ptr<CallerConnection> Connection_;
    std::optional<std::list<ConnectionId>::iterator> Idle_;
    /// Earliest time for which the connection is in Deadlines_.
    std::optional<TimePoint> QueuedAt_;
  };
  using QueuedDeadline = std::pair<TimePoint, ConnectionId>;

  void accept();
  void onAccepted(const asio::error_code &Failure,
                  asio::ip::tcp::socket Socket);
  /// Closes the connection that has been idle for longest. False when none is
  /// idle.
  bool closeOldestIdle();
  bool isFull() const {
    return Connections_.size() >= Options_.MaxConnections_.value();
  }
  void armTimer();
  void onTimer();

  CallerListenerOptions Options_;
  CallerListenerCallbacks Callbacks_;
  RequestIdGenerator IdGenerator_;
  Endpoint Address_;
  UnwrittenAnswers Unwritten_;
  std::array<std::atomic<std::uint64_t>, CallerEventCount> Counts_{};
  asio::io_context Context_{1};
  asio::ip::tcp::acceptor Acceptor_{Context_};
  asio::steady_timer AcceptTimer_{Context_};
  asio::steady_timer DeadlineTimer_{Context_};
  std::thread Thread_;

  // Used by the listener's thread only.
  std::array<char, 32UL * 1024> ReadBuffer_{};
  ReceiveBudget ReceiveBudget_;
  ReceiveBudget SendBudget_;
  std::unordered_map<std::uint64_t, Entry> Connections_;
  std::list<ConnectionId> IdleConnections_;
  std::map<RequestId, ConnectionId> Requests_;
  std::priority_queue<QueuedDeadline, std::vector<QueuedDeadline>,
                      std::greater<>>
      Deadlines_;
  std::optional<TimePoint> TimerAt_;
  ConfigurationVersion LastVersion_;
  std::uint64_t LastConnection_ = 0;
  bool IsDraining_ = false;
  bool IsAccepting_ = false;
  bool WasBudgetShort_ = false;
};

} // namespace jaybridge
