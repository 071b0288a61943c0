#pragma once

#include <OperatorClient.h>
#include <Options.h>

namespace jaybridge {

/// Runs the command that the words name and prints its result.
ExitCode runCommand(const Options &Given, const OperatorClient &Client);

/// A new UUID version 7 (RFC 9562) with the time of now.
std::string newIdempotencyKey();

/// The commands and their arguments, for --help.
const char *commandSummary();

} // namespace jaybridge
