#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Time.h>

#include <functional>
#include <string>
#include <vector>

namespace jaybridge {

struct LoadRequest {
  Endpoint Target_;
  std::string Method_ = "GET";
  std::string Path_;
  std::vector<std::string> Headers_;
  std::string Body_;
  /// When it is due, from the start of the run.
  Duration SendOffset_{};
};

struct LoadResponse {
  /// 0 when no whole answer arrived.
  unsigned Status_ = 0;
  std::string Headers_;
  std::string Body_;
  /// From the time at which the request was due to the end of the answer, so
  /// that a late start counts (coordinated omission).
  Duration Latency_{};
};

/// Sends each request when it is due, whatever happened to earlier ones, over
/// kept-alive connections. Answers are in the order of the requests.
std::vector<LoadResponse> runLoad(const std::vector<LoadRequest> &Requests,
                                  const std::function<void(Duration)> &OnTick);

/// Value of a header in an answer; empty when absent.
std::string headerValue(const LoadResponse &Answer, const std::string &Name);

/// The latency below which the share (0 to 1) of the answers lies.
Duration quantile(std::vector<Duration> Latencies, double Share);

} // namespace jaybridge
