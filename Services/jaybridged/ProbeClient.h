#pragma once

#include <LibControl/AuthorityMessages.h>
#include <LibHTTP/UpstreamClient.h>

#include <functional>
#include <map>
#include <mutex>
#include <optional>

namespace jaybridge {

/// Sends health probes (GET /health) to instances. It has an upstream client of
/// its own, so that probes are not queued behind requests.
class ProbeClient {
public:
  /// Receives each probe's result, on the client's thread.
  using Sink = std::function<void(ProbeResult)>;

  static Result<std::unique_ptr<ProbeClient>> create(MemberId Self,
                                                     Sink OnFinished);

  /// From any thread. A probe that cannot be started is skipped; the authority
  /// requests it again.
  void probe(const ProbeRequest &Probe);

private:
  static constexpr Duration ProbeTimeout = 1s;

  ProbeClient(MemberId Self, Sink OnFinished)
      : Self_(std::move(Self)), OnFinished_(std::move(OnFinished)) {}
  void finish(const AttemptFinished &Attempt);

  MemberId Self_;
  Sink OnFinished_;
  std::mutex Mutex_;
  AttemptId LastAttempt_;
  std::map<AttemptId, ProbeRequest> Pending_;
  std::optional<UpstreamClient> Client_;
};

} // namespace jaybridge
