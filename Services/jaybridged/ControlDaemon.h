#pragma once

#include <RegistryPeers.h>
#include <StorageThread.h>

#include <LibHTTP/ControlListener.h>
#include <LibLog/Log.h>
#include <LibMetrics/MetricRegistry.h>
#include <LibRegistry/ControlService.h>
#include <LibRuntime/EventLoopThread.h>
#include <LibWire/RegistryCodec.h>
#include <Platform/ConfigurationDocument.h>
#include <Platform/ControlApi.h>

#include <functional>
#include <memory>

namespace jaybridge {

/// Process of a control member: the registry with its replicated log, the
/// storage thread, and the HTTP listener for instances and operators.
class ControlDaemon {
public:
  /// Called once, from any thread, when the member has stopped taking part in
  /// replication. It can only resume after a restart of the process.
  using StoppedSink = std::function<void()>;

  static Result<std::unique_ptr<ControlDaemon>>
  create(const Settings &DaemonSettings, StoppedSink OnStopped);
  ~ControlDaemon();
  ControlDaemon(const ControlDaemon &) = delete;
  ControlDaemon &operator=(const ControlDaemon &) = delete;

  const Endpoint &controlAddress() const { return Listener_->address(); }
  /// Logs the receipt of a reload signal.
  void logReload();

private:
  using Service =
      ControlService<RegistryWireCodec, platform::ConfigurationDocument>;

  ControlDaemon(const Settings &DaemonSettings,
                std::unique_ptr<StorageThread> Storage, Service Role,
                StoppedSink OnStopped);
  Status start(const Settings &DaemonSettings);
  PeerSinks peerSinks();
  /// False when the ring is full; this is counted.
  bool post(ControlEvent Event);
  std::optional<ControlEvent> deliver(ControlEffect Effect);
  void logRegistryChange(const RegistryCommandApplied &Applied);
  void handleStopped(const MemberStopped &Stopped);
  std::string metricsText();

  Log Log_;
  MetricRegistry Metrics_;
  Counter &RingsFull_;
  Counter &MessagesUnsent_;
  Counter &ReportsDropped_;
  StoppedSink OnStopped_;
  std::unique_ptr<StorageThread> Storage_;
  RegistryPeers Peers_;
  EventLoopThread<Service> Control_;
  platform::ControlApi Api_;
  std::optional<ControlListener> Listener_;
};

} // namespace jaybridge
