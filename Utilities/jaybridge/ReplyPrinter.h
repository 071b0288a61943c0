#pragma once

#include <OperatorClient.h>
#include <Options.h>

#include <functional>

namespace jaybridge {

void print(const std::string &Text);
void printError(const std::string &Text);

/// Text of a field for a table; "-" when it is absent or null.
std::string cellText(const nlohmann::json &Object, const char *Name);

ExitCode exitCodeFor(StatusCode Status);
/// Prints the error of a reply and returns the exit code of the command.
ExitCode reportFailure(const OperatorReply &Reply);

/// Prints the JSON body of a reply for humans.
using BodyPrinter = std::function<void(const nlohmann::json &)>;

/// Prints the body of a successful reply, as JSON or with the printer, or
/// prints the error. Returns the exit code of the command.
ExitCode printReply(const Options &Opts, const Result<OperatorReply> &Reply,
                    const BodyPrinter &PrintBody);

/// Prints the objects of a list as rows of a table with these fields.
BodyPrinter tablePrinter(const char *ListName,
                         std::vector<const char *> Fields);
/// Prints the fields of an object as rows of a table.
void printFields(const nlohmann::json &Body);

} // namespace jaybridge
