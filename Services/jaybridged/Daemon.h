#pragma once

#include <ConfigurationWireCodec.h>
#include <ForwardTable.h>
#include <OperatorApi.h>
#include <PeerMessenger.h>
#include <ProbeClient.h>
#include <RequestPath.h>
#include <StorageThread.h>

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

/// Process of a daemon with all duties: its threads and the rings between them.
/// The roles make all decisions; this class starts their threads and carries
/// out their effects.
class Daemon {
public:
  static Result<std::unique_ptr<Daemon>> create(const Settings &DaemonSettings);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  const Endpoint &callerAddress() const {
    return RequestPath_->callers().address();
  }
  const Endpoint &announceAddress() const {
    return AnnounceListener_->address();
  }
  const Endpoint &operatorAddress() const {
    return OperatorListener_->address();
  }
  const Endpoint &peerAddress() const { return Peers_.address(); }

  /// Refuses new requests, waits for those in progress and then tells the fleet
  /// that this daemon leaves, all within the grace period. Requests that do not
  /// end in time are answered with what is known about them. False when some
  /// were not answered.
  [[nodiscard]] bool drain(Duration Grace);

private:
  using ConfigurationRole = ConfigurationService<ConfigurationWireCodec>;
  using FleetRole = FleetService<ConfigurationWireCodec>;

  /// The roles, before they are moved into their threads.
  struct Roles {
    std::unique_ptr<StorageThread> Storage_;
    ConfigurationRole Configuration_;
    LedgerService Ledger_;
  };

  Daemon(const Settings &DaemonSettings, Roles InitialRoles);
  static Result<Roles> createRoles(const Settings &DaemonSettings);
  Status start(const Settings &DaemonSettings);
  Status startPeers(const Settings &DaemonSettings);
  Status startFleet(const Settings &DaemonSettings);
  Status startAuthority(const Settings &DaemonSettings);
  Status startListeners(const Settings &DaemonSettings);
  void startConfiguration();
  void startLedger();
  void startHistory();
  void stop();

  PeerSinks peerSinks();
  RequestPathSinks requestSinks();
  OperatorSinks operatorSinks();
  std::string metricsText();
  /// Whether a configuration is applied and the daemon is not draining.
  bool isReady() const;

  /// Puts an event into a role's ring. False when the ring is full; this is
  /// counted.
  template <typename Role>
  bool post(EventLoopThread<Role> &Thread, typename Role::Event Event);
  template <typename Message>
  void send(const MemberId &To, const Message &Outgoing);

  // DaemonConfiguration.cpp
  void deliver(ConfigurationEffect Effect);
  std::optional<ConfigurationEvent> persist(PersistLog &Write);
  // DaemonFleet.cpp
  void deliver(FleetEffect Effect);
  void apply(const MemberChanged &Changed);
  void apply(const CatalogApplied &Catalog);
  void handleAnnouncement(const ControlRequest &HttpRequest,
                          const ControlReply &Reply);
  void answerAnnouncement(const AnnouncementAnswered &Answered);
  // DaemonAuthority.cpp
  void deliver(AuthorityEffect Effect);
  void recordAudit(AuditEntry Entry);
  // DaemonRequests.cpp
  std::optional<LedgerService::Event> deliver(LedgerService::Effect Effect);
  bool forward(ForwardRequest Forwarded);
  void receiveForward(const MemberId &From, ForwardMessage Message);
  /// Answers forwarded requests whose connection to the home daemon was lost.
  void failForwards(const std::vector<RequestId> &Ids);
  // DaemonOperators.cpp
  void deliver(HistoryService::Effect Effect);

  MemberId Self_;
  Log Log_;
  MetricRegistry Metrics_;
  Counter &RingsFull_;
  Counter &MessagesUnsent_;
  Counter &AnnouncementsRefused_;
  Gauge &AppliedVersionGauge_;
  std::atomic<std::uint64_t> AppliedVersion_{0};
  std::atomic<bool> IsDraining_{false};
  std::promise<void> LeaveDone_;

  std::unique_ptr<StorageThread> Storage_;
  EventLoopThread<ConfigurationRole> Configuration_;
  EventLoopThread<LedgerService> Ledger_;
  EventLoopThread<HistoryService> History_;
  std::unique_ptr<EventLoopThread<FleetRole>> Fleet_;
  std::unique_ptr<EventLoopThread<AuthorityService>> Authority_;
  ForwardTable Forwards_;
  OperatorApi Api_;
  PeerMessenger Peers_;
  std::unique_ptr<ProbeClient> Probes_;
  std::unique_ptr<RequestPath> RequestPath_;
  std::optional<ControlListener> OperatorListener_;
  std::optional<ControlListener> AnnounceListener_;
  std::mutex PendingAnnouncementsMutex_;
  std::multimap<InstanceId, ControlReply> PendingAnnouncements_;
};

template <typename Role>
bool Daemon::post(EventLoopThread<Role> &Thread, typename Role::Event Event) {
  if (Thread.ring().tryPush(Event))
    return true;
  RingsFull_.add();
  return false;
}

template <typename Message>
void Daemon::send(const MemberId &To, const Message &Outgoing) {
  if (!Peers_.send(To, Outgoing))
    MessagesUnsent_.add();
}

} // namespace jaybridge
