#pragma once

#include <ForwardTable.h>
#include <OperatorApi.h>
#include <PeerLink.h>
#include <ProbeClient.h>
#include <RequestPath.h>
#include <StorageThread.h>
#include <WireConfiguration.h>

#include <LibControl/AuthorityService.h>
#include <LibControl/ConfigurationService.h>
#include <LibControl/FleetService.h>
#include <LibControl/HistoryService.h>
#include <LibControl/LedgerService.h>
#include <LibHTTP/ControlListener.h>
#include <LibLog/Log.h>
#include <LibMetrics/MetricRegistry.h>
#include <LibSettings/Settings.h>

#include <future>
#include <memory>

namespace jaybridge {

/// All threads of the process and the rings between them. Decisions are made
/// by the hosted roles; this class only passes their effects on.
class Daemon {
public:
  static Result<std::unique_ptr<Daemon>> create(const Settings &Given);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  const Endpoint &callerAddress() const {
    return Requests_->callers().address();
  }
  const Endpoint &announceAddress() const { return Announcements_->address(); }
  const Endpoint &operatorAddress() const { return Operators_->address(); }
  const Endpoint &peerAddress() const { return Peers_.address(); }

  /// Refuses new requests, waits for those in progress, and tells the fleet.
  /// False when some were not answered within the limit.
  [[nodiscard]] bool drain(Duration Limit);

private:
  using ConfigurationRole = ConfigurationService<WireConfiguration>;
  using FleetRole = FleetService<WireConfiguration>;

  /// The roles before their threads exist.
  struct Roles {
    std::unique_ptr<StorageThread> Storage_;
    ConfigurationRole Configuration_;
    LedgerService Ledger_;
  };

  Daemon(const Settings &Given, Roles Hosted);
  static Result<Roles> createRoles(const Settings &Given);
  Status start(const Settings &Given);
  Status startPeers(const Settings &Given);
  Status startFleet(const Settings &Given);
  Status startAuthority(const Settings &Given);
  Status startListeners(const Settings &Given);
  void startConfiguration();
  void startLedger();
  void startHistory();
  void stop();

  PeerSinks peerSinks();
  RequestPathOutlets requestOutlets();
  OperatorOutlets operatorOutlets();
  std::string metricsText();
  bool isReady() const;

  /// Puts an event into a role's ring; a full ring is counted.
  template <typename Role>
  bool post(EventLoopThread<Role> &Duty, typename Role::Event Event);
  template <typename Message>
  void send(const MemberId &To, const Message &Sent);

  // DaemonConfiguration.cpp
  void deliver(ConfigurationEffect Effect);
  std::optional<ConfigurationEvent> persist(PersistLog &Write);
  // DaemonFleet.cpp
  void deliver(FleetEffect Effect);
  void apply(const MemberChanged &Changed);
  void apply(const CatalogInForce &Catalog);
  void announce(const ControlRequest &Asked, const ControlReply &Reply);
  void answer(const AnnouncementAnswered &Answered);
  // DaemonAuthority.cpp
  void deliver(AuthorityEffect Effect);
  void record(AuditEntry Entry);
  // DaemonRequests.cpp
  std::optional<LedgerService::Event> deliver(LedgerService::Effect Effect);
  bool forward(ForwardRequest Asked);
  void receiveForward(const MemberId &From, ForwardMessage Message);
  void loseForwards(const std::vector<RequestId> &Lost);
  // DaemonHistory.cpp
  void deliver(HistoryService::Effect Effect);

  MemberId Self_;
  Log Log_;
  MetricRegistry Metrics_;
  Counter &RingsFull_;
  Counter &MessagesUnsent_;
  Counter &AnnouncementsRefused_;
  Gauge &VersionInForce_;
  std::atomic<std::uint64_t> Version_{0};
  std::atomic<bool> IsDraining_{false};
  std::promise<void> Left_;

  std::unique_ptr<StorageThread> Storage_;
  EventLoopThread<ConfigurationRole> Configuration_;
  EventLoopThread<LedgerService> Ledger_;
  EventLoopThread<HistoryService> History_;
  std::unique_ptr<EventLoopThread<FleetRole>> Fleet_;
  std::unique_ptr<EventLoopThread<AuthorityService>> Authority_;
  ForwardTable Forwards_;
  OperatorApi Api_;
  PeerLink Peers_;
  std::unique_ptr<ProbeClient> Probes_;
  std::unique_ptr<RequestPath> Requests_;
  std::optional<ControlListener> Operators_;
  std::optional<ControlListener> Announcements_;
  std::mutex AnnouncementMutex_;
  std::multimap<InstanceId, ControlReply> WaitingAnnouncements_;
};

template <typename Role>
bool Daemon::post(EventLoopThread<Role> &Duty, typename Role::Event Event) {
  if (Duty.ring().tryPush(Event))
    return true;
  RingsFull_.add();
  return false;
}

template <typename Message>
void Daemon::send(const MemberId &To, const Message &Sent) {
  if (!Peers_.send(To, Sent))
    MessagesUnsent_.add();
}

} // namespace jaybridge
