#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Result.h>
#include <LibCore/Units.h>

#include <optional>
#include <string>
#include <vector>

namespace jaybridge {

/// HTTP response of a daemon's operators' listener.
struct OperatorReply {
  StatusCode Status_;
  std::string Body_;
};

/// Client for the operators' HTTP listener of daemons. Daemons are tried in
/// order until one answers with another status than 503. Every call may be sent
/// again, because changes carry a request id.
class OperatorClient {
public:
  /// Reads the token from the file's first line. Fails with `Invalid`.
  static Result<OperatorClient> create(std::vector<Endpoint> Daemons,
                                       const std::string &TokenFile);

  /// Client for a listener that needs no token, as the status listener of a
  /// gateway.
  static OperatorClient open(Endpoint Listener) {
    return OperatorClient({std::move(Listener)}, {});
  }

  /// Fails with `Unavailable` when no daemon answered.
  Result<OperatorReply> get(const std::string &Path) const;
  Result<OperatorReply> post(const std::string &Path,
                             const std::string &Body) const;

private:
  OperatorClient(std::vector<Endpoint> Daemons, std::string Token)
      : Daemons_(std::move(Daemons)), Token_(std::move(Token)) {}

  Result<OperatorReply> call(const std::string &Path,
                             const std::optional<std::string> &Body) const;

  std::vector<Endpoint> Daemons_;
  std::string Token_;
};

} // namespace jaybridge
