#pragma once

#include "Sockets.hh"

#include <string>

namespace review {

/// A client's connection, which is kept for many requests.
class KeptConnection {
public:
  explicit KeptConnection(Address To) : To_(std::move(To)) {}

  /// How a request ended.
  enum class End { Answered, ClosedUnanswered, NotSent, TimedOut };

  /// Sends a request and reads its answer; opens a connection if there is none.
  End send(const std::string &Method, const std::string &Path,
           const std::string &RequestId, int DeadlineMs,
           const std::string &Body);
  int status() const { return Status_; }
  const HTTPMessage &answer() const { return Answer_; }
  /// Requests that were answered on the present connection.
  int answeredCount() const { return Answered_; }

private:
  Address To_;
  Socket Connection_;
  std::string Buffer_;
  HTTPMessage Answer_;
  int Status_ = 0;
  int Answered_ = 0;
};

} // namespace review
