#include "Clients.hh"

#include <cstdlib>

namespace review {

namespace {

std::string requestText(const std::string &Method, const std::string &Path,
                        const std::string &RequestId, int DeadlineMs,
                        const std::string &Body) {
  return Method + " " + Path +
         " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + RequestId +
         "\r\nDeadline-Ms: " + std::to_string(DeadlineMs) + "\r\n" +
         (Body.empty()
              ? ""
              : "Content-Length: " + std::to_string(Body.size()) + "\r\n") +
         "\r\n" + Body;
}

} // namespace

KeptConnection::End KeptConnection::send(const std::string &Method,
                                         const std::string &Path,
                                         const std::string &RequestId,
                                         int DeadlineMs,
                                         const std::string &Body) {
  const Milliseconds Deadline(DeadlineMs);
  const Clock::time_point Until = Clock::now() + Deadline;
  Status_ = 0;
  if (!Connection_.isOpen()) {
    Connection_ = Socket::connectTo(To_, Milliseconds(1000));
    Buffer_.clear();
    Answered_ = 0;
    if (!Connection_.isOpen())
      return End::NotSent;
  }
  if (!Connection_.sendAll(
          requestText(Method, Path, RequestId, DeadlineMs, Body))) {
    Connection_.close();
    return End::NotSent;
  }
  auto Received = readMessage(Connection_, Buffer_, Deadline);
  if (!Received) {
    Connection_.close();
    return Clock::now() >= Until ? End::TimedOut : End::ClosedUnanswered;
  }
  Answer_ = std::move(*Received);
  Status_ = std::atoi(Answer_.FirstLine_.substr(9).c_str());
  ++Answered_;
  if (Answer_.header("Connection") == "close")
    Connection_.close();
  return End::Answered;
}

} // namespace review
