#pragma once

#include <LibHTTP/CallerListener.h>
#include <LibHTTP/ConnectionTimeouts.h>
#include <LibHTTP/PipelineOrder.h>
#include <LibHTTP/ReceiveBudget.h>
#include <LibHTTP/RequestReader.h>
#include <LibHTTP/ResponseWriter.h>

#include <asio/ip/tcp.hpp>

#include <deque>
#include <memory>

// Internal header of the caller listener.

namespace jaybridge {

class CallerServer;

/// Connection of a caller. Reads requests, passes them on in the order that
/// PipelineOrder permits, and writes the responses in the order of the
/// requests. Used by the listener's thread only.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  CallerConnection(ConnectionId Id, asio::ip::tcp::socket Socket,
                   CallerServer &Server);

  ConnectionId id() const { return Id_; }
  void start();
  /// Takes the answer to a request of this connection.
  void answer(const RequestId &Id, Answer Content,
              ConfigurationVersion Version);
  /// Refuses the incomplete request, since memory is short.
  void cutOff();
  /// Closes the connection if its caller was too slow.
  void checkDeadline(TimePoint Now);
  /// Closes the connection and reports its open requests as disconnected.
  void close();
  std::optional<TimePoint> deadline() const;

private:
  struct OpenRequest {
    RequestId Id_;
    AnswerToken Token_;
    std::optional<RequestId> CallerId_;
    /// Kept until the request can no longer be passed on again.
    std::shared_ptr<const Request> Request_;
    ByteCount Held_;
    bool IsToHead_ = false;
    bool KeepsAlive_ = false;
    bool IsPassedOn_ = false;
    std::optional<Answer> Answer_;
    ConfigurationVersion Version_;
  };

  void waitUntilReadable();
  void onReadable();
  void waitUntilWritable();

  /// Handles everything that can be handled now: bytes, requests and answers.
  void advance();
  bool readStep(TimePoint Now);
  void onHead(TimePoint Now);
  void onRequest(TimePoint Now);
  void passOnRequests();
  void passOn(std::size_t Position);
  void writeAnswers();
  void writeFirst();
  void flush(TimePoint Now);
  void finishWriting();
  /// Adds a refusal behind all open requests and closes the connection after
  /// it.
  void refuseAndClose(Refusal Refused);
  void updateBudgets(TimePoint Now);
  void updatePhase(TimePoint Now);
  void dropWaitingRequests();
  HeldBytes heldBytes() const;
  ByteCount readAhead() const;
  bool canRead() const {
    // A caller that does not read its responses sends no more requests.
    return !StopsReading_ && Order_.canReadMore(readAhead()) &&
           Writer_.unwrittenBytes() < PipelineOrder::MaxReadAhead;
  }

  ConnectionId Id_;
  asio::ip::tcp::socket Socket_;
  CallerServer &Server_;
  RequestReader Reader_;
  ResponseWriter Writer_;
  PipelineOrder Order_;
  ConnectionTimeouts Timeouts_;
  std::deque<OpenRequest> Requests_;
  /// Bytes that are read from the socket and not yet parsed. Refers to the
  /// server's buffer or to Unread_.
  std::string_view Input_;
  std::string Unread_;
  HeldBytes LastHeld_;
  ByteCount LastBodySize_;
  std::size_t Discarded_ = 0;
  TimePoint LastWriteProgress_;
  bool IsAdvancing_ = false;
  bool StopsReading_ = false;
  bool ClosesAfterWriting_ = false;
  bool HasEnded_ = false;
  bool IsReadPending_ = false;
  bool IsWritePending_ = false;
  bool NeedsContinue_ = false;
  bool IsClosed_ = false;
};

} // namespace jaybridge
