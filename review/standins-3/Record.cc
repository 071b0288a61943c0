#include "Record.hh"

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>

namespace review {

namespace {

const auto StartedAt = std::chrono::steady_clock::now();
std::mutex RecordMutex;
std::ofstream RecordFile;

} // namespace

bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

double now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       StartedAt)
      .count();
}

void sleepFor(double Seconds) {
  if (Seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

void sleepUntil(double Second) { sleepFor(Second - now()); }

void openRecord(const std::string &Folder) {
  RecordFile.open(Folder + "/record.txt", std::ios::trunc);
}

void record(const std::string &Line) {
  std::lock_guard Lock(RecordMutex);
  char Time[32];
  std::snprintf(Time, sizeof(Time), "%8.3f  ", now());
  RecordFile << Time << Line << std::endl;
}

int finish(Verdict Result, const std::string &Reason) {
  const char *Names[] = {"held", "BROKEN", "could not run"};
  const std::string Line =
      std::string(Names[static_cast<int>(Result)]) + ": " + Reason;
  record(Line);
  std::cout << Line << std::endl;
  return static_cast<int>(Result);
}

} // namespace review
