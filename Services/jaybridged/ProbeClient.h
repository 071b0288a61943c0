#pragma once

#include <LibControl/AuthorityMessages.h>
#include <LibHTTP/UpstreamClient.h>

#include <functional>
#include <map>
#include <mutex>
#include <optional>

namespace jaybridge {

/// Asks instances for their health, over a client of its own so that probes
/// never wait behind requests.
class ProbeClient {
public:
  using Sink = std::function<void(ProbeResult)>;

  static Result<std::unique_ptr<ProbeClient>> create(MemberId Self,
                                                     Sink Finished);

  /// From any thread. A probe that cannot be started is left out; the
  /// authority asks again.
  void probe(const ProbeRequest &Asked);

private:
  static constexpr Duration ProbeLimit = 1s;

  ProbeClient(MemberId Self, Sink Finished)
      : Self_(std::move(Self)), Finished_(std::move(Finished)) {}
  void finish(const AttemptFinished &Ended);

  MemberId Self_;
  Sink Finished_;
  std::mutex Mutex_;
  AttemptId Last_;
  std::map<AttemptId, ProbeRequest> Open_;
  std::optional<UpstreamClient> Client_;
};

} // namespace jaybridge
