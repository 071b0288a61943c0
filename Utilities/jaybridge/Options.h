#pragma once

#include <LibCore/Endpoint.h>
#include <LibProfile/Profile.h>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace jaybridge {

/// The request that `jaybridge explain` asks about.
struct ExplainOptions {
  /// Status address of the gateway.
  std::optional<Endpoint> Gateway_;
  std::string Host_;
  std::string Path_;
  std::string Method_ = "GET";
  std::string Team_;
};

/// Options from the command line and the environment.
struct Options {
  std::vector<Endpoint> Daemons_;
  std::string TokenFile_;
  bool PrintsJson_ = false;
  std::string Author_;
  std::string RequestId_;
  std::optional<ConfigurationVersion> BasedOn_;
  /// Profile fields whose flags were set, by their names in the operators' API.
  nlohmann::json ProfileFields_ = nlohmann::json::object();
  std::string ProfileName_;
  std::string Since_;
  std::string Service_;
  std::string Kind_;
  ExplainOptions Explain_;
  /// Positional arguments: the command and its operands.
  std::vector<std::string> Arguments_;
};

/// Exit codes of the tool, documented in docs/operators/README.md.
enum class ExitCode {
  Success = 0,
  Failure = 1,
  Usage = 2,
  Conflict = 3,
  Unavailable = 4,
  NotFound = 5,
  Invalid = 6,
};

} // namespace jaybridge
