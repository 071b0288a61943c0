#pragma once

#include <RegistryPeers.h>
#include <StorageThread.h>

#include <LibHTTP/ControlListener.h>
#include <LibLog/Log.h>
#include <LibMetrics/MetricRegistry.h>
#include <LibRegistry/ControlService.h>
#include <LibRuntime/EventLoopThread.h>
#include <LibWire/RegistryCodec.h>
#include <Platform/ControlApi.h>

#include <functional>
#include <memory>

namespace jaybridge {

/// A control member: the registry and its replicated log, the storage, and the
/// listener for instances and operators.
class ControlDaemon {
public:
  /// Called once, from any thread, when the member can take no further part
  /// until its process starts again.
  using StoppedSink = std::function<void()>;

  static Result<std::unique_ptr<ControlDaemon>> create(const Settings &Given,
                                                       StoppedSink OnStopped);
  ~ControlDaemon();
  ControlDaemon(const ControlDaemon &) = delete;
  ControlDaemon &operator=(const ControlDaemon &) = delete;

  const Endpoint &controlAddress() const { return Listener_->address(); }
  void noteReload();

private:
  using Service = ControlService<RegistryWireCodec>;

  ControlDaemon(const Settings &Given, std::unique_ptr<StorageThread> Storage,
                Service Hosted, StoppedSink OnStopped);
  Status start(const Settings &Given);
  PeerSinks peerSinks();
  bool post(ControlEvent Event);
  std::optional<ControlEvent> deliver(ControlEffect Effect);
  void record(const RegistryApplied &Applied);
  void stop(const MemberStopped &Stopped);
  std::string metricsText();

  Log Log_;
  MetricRegistry Metrics_;
  Counter &RingsFull_;
  Counter &MessagesUnsent_;
  StoppedSink OnStopped_;
  std::unique_ptr<StorageThread> Storage_;
  RegistryPeers Peers_;
  EventLoopThread<Service> Control_;
  platform::ControlApi Api_;
  std::optional<ControlListener> Listener_;
};

} // namespace jaybridge
