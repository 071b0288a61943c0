#pragma once

#include <string>

namespace review {

/// The exit codes of a case.
enum class Verdict { Held = 0, Broken = 1, NotRun = 2 };

/// Whether the disruption of the case takes place (the variable TROUBLE).
bool hasTrouble();

/// Seconds since the start of the case.
double now();
/// Sleeps until this many seconds after the start.
void sleepUntil(double Second);
void sleepFor(double Seconds);

/// Writes a line with the time to the file record.txt of the case. Thread-safe.
void record(const std::string &Line);

/// Opens the file; the folder is the first argument of the program.
void openRecord(const std::string &Folder);

/// Records the verdict and returns its exit code.
int finish(Verdict Result, const std::string &Reason);

} // namespace review
