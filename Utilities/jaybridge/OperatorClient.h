#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Result.h>
#include <LibCore/Units.h>

#include <optional>
#include <string>
#include <vector>

namespace jaybridge {

struct OperatorReply {
  StatusCode Status_;
  std::string Body_;
};

/// Talks to the operators' listener of any daemon. Daemons are tried in order;
/// every call may be resent, since changes carry a request id.
class OperatorClient {
public:
  /// Reads the token from its file.
  static Result<OperatorClient> create(std::vector<Endpoint> Daemons,
                                       const std::string &TokenFile);

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
