#pragma once

#include <RegistryPeers.h>
#include <RequestPath.h>

#include <LibHTTP/ControlListener.h>
#include <LibLog/Log.h>
#include <LibMetrics/MetricRegistry.h>
#include <LibRegistry/FleetSubscription.h>
#include <Platform/ConfigurationDocument.h>

#include <memory>

namespace jaybridge {

/// A daemon that serves callers: the request path, and the subscription to the
/// control members that tells it routes and instances.
class GatewayDaemon {
public:
  static Result<std::unique_ptr<GatewayDaemon>> create(const Settings &Given);
  ~GatewayDaemon();
  GatewayDaemon(const GatewayDaemon &) = delete;
  GatewayDaemon &operator=(const GatewayDaemon &) = delete;

  const Endpoint &callerAddress() const {
    return Requests_->callers().address();
  }
  const Endpoint &statusAddress() const { return Status_->address(); }

  /// Leaves the balancer's rotation, serves what still arrives, then waits for
  /// the requests in progress. False when some were cut off.
  [[nodiscard]] bool drain(Duration Grace);
  void noteReload();

private:
  using Subscription = FleetSubscription<platform::ConfigurationDocument>;

  GatewayDaemon(const Settings &Given, Subscription Following);
  Status start(const Settings &Given);
  PeerSinks peerSinks();
  RequestPathOutlets outlets();
  void deliver(FleetSubscriptionEffect Effect);
  void apply(RoutingChanged &Changed);
  void apply(InstanceChanged &Changed);
  void apply(EjectionsChanged &Changed);
  void apply(RetriesGranted &Granted);
  void apply(const ContactChanged &Changed);
  void record(const RecordStep &Step);
  void observe(ObserveAttempt Seen);
  /// Hands the event to the subscription; it is counted when the ring is full.
  void follow(FleetSubscriptionEvent Event);
  std::string metricsText();

  Log Log_;
  MetricRegistry Metrics_;
  Counter &RingsFull_;
  Counter &MessagesUnsent_;
  Histogram &AttemptTimes_;
  std::atomic<std::uint64_t> Version_{0};
  std::atomic<bool> IsDraining_{false};
  RegistryPeers Peers_;
  EventLoopThread<Subscription> Following_;
  std::unique_ptr<RequestPath> Requests_;
  std::optional<ControlListener> Status_;
};

} // namespace jaybridge
