#pragma once

#include <OperatorClient.h>
#include <Options.h>

namespace jaybridge {

/// Runs the command that the words name and prints its result.
ExitCode runCommand(const Options &Given, const OperatorClient &Client);

/// The commands and their arguments, for --help.
const char *commandSummary();

} // namespace jaybridge
