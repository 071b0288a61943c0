#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Time.h>

#include <functional>
#include <string>
#include <vector>

namespace jaybridge {

/// A request of a load run.
struct LoadRequest {
  Endpoint Target_;
  std::string Method_ = "GET";
  std::string Path_;
  std::vector<std::string> Headers_;
  std::string Body_;
  /// Scheduled send time, relative to the start of the run.
  Duration SendOffset_{};
};

/// The response to a LoadRequest.
struct LoadResponse {
  /// HTTP status code; 0 when no complete response arrived.
  unsigned Status_ = 0;
  std::string Headers_;
  std::string Body_;
  /// Time from the scheduled send time to the end of the response. It includes
  /// the delay of a late send, which avoids coordinated omission.
  Duration Latency_{};
};

/// Sends each request at its scheduled time over persistent connections,
/// independently of the responses to earlier ones (open loop). The requests are
/// sorted by that time; the responses come in the order of the requests.
/// `OnTick`, if set, is called with the elapsed time on every loop iteration.
std::vector<LoadResponse> runLoad(const std::vector<LoadRequest> &Requests,
                                  const std::function<void(Duration)> &OnTick);

/// Value of a response header; empty when absent. `Name` is case-sensitive.
std::string headerValue(const LoadResponse &Response, const std::string &Name);

/// Quantile of the latencies for a fraction from 0 to 1; zero when there are
/// none.
Duration quantile(std::vector<Duration> Latencies, double Fraction);

} // namespace jaybridge
