#pragma once

#include <RegistryPeers.h>
#include <RequestPath.h>

#include <LibHTTP/ControlListener.h>
#include <LibLog/Log.h>
#include <LibMetrics/MetricRegistry.h>
#include <LibRegistry/RegistrySubscription.h>
#include <Platform/ConfigurationDocument.h>

#include <memory>

namespace jaybridge {

/// Process of a gateway: the request path for callers, and the subscription
/// through which the control members send routes and instances.
class GatewayDaemon {
public:
  static Result<std::unique_ptr<GatewayDaemon>>
  create(const Settings &DaemonSettings);
  ~GatewayDaemon();
  GatewayDaemon(const GatewayDaemon &) = delete;
  GatewayDaemon &operator=(const GatewayDaemon &) = delete;

  const Endpoint &callerAddress() const {
    return RequestPath_->callers().address();
  }
  const Endpoint &statusAddress() const { return StatusListener_->address(); }

  /// Reports not ready, so that balancers remove this gateway, serves requests
  /// that still arrive, then waits for those in progress. False when some were
  /// not answered within the grace period.
  [[nodiscard]] bool drain(Duration Grace);
  /// Logs the receipt of a reload signal.
  void logReload();

private:
  using Reading = DocumentReading<platform::ConfigurationReader>;

  GatewayDaemon(const Settings &DaemonSettings, RegistrySubscription Role);
  Status start(const Settings &DaemonSettings);
  void startThreads();
  PeerSinks peerSinks();
  RequestPathSinks requestSinks();
  void deliver(RegistrySubscriptionEffect Effect);
  void apply(RoutingChanged &Changed);
  void apply(InstanceChanged &Changed);
  void apply(EjectionsChanged &Changed);
  void apply(FingerprintsQuarantined &Changed);
  void apply(RetriesGranted &Granted);
  void apply(TokensGranted &Granted);
  void apply(const ControlMemberChanged &Changed);
  void apply(const DocumentRejected &Rejected);
  void logRequestStep(const RecordStep &Step);
  void logTeamRefusal(const TeamRefusalChanged &Changed);
  void setGauge(const std::string &Name, EventCount Value);
  void setLimiterMetrics(const TeamLimiterCounts &Counts);
  void observeAttempt(ReportAttempt Attempt);
  /// Puts the event into the subscription's ring; it is dropped and counted
  /// when the ring is full.
  void postToSubscription(RegistrySubscriptionEvent Event);
  std::string metricsText();

  Log Log_;
  MetricRegistry Metrics_;
  Counter &RingsFull_;
  Counter &MessagesUnsent_;
  Counter &DocumentsRejected_;
  Histogram &AttemptTimes_;
  std::atomic<std::uint64_t> AppliedVersion_{0};
  std::atomic<bool> IsDraining_{false};
  RegistryPeers Peers_;
  EventLoopThread<RegistrySubscription> SubscriptionThread_;
  EventLoopThread<Reading> ReaderThread_;
  std::unique_ptr<RequestPath> RequestPath_;
  std::optional<ControlListener> StatusListener_;
};

} // namespace jaybridge
