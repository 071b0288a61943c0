#pragma once

#include <LibCore/Units.h>
#include <LibExchange/Request.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaybridge {

/// Validates the head of an upstream's response (RFC 9112, sections 4 and 6)
/// and collects its fields. HTTP clients accept more than the RFC permits, and
/// a recipient that reads the status or the length in another way would take
/// part of one response for another.
///
/// Interim heads (status 100 to 199) are skipped. Lines after the end of the
/// final head are trailers and are ignored.
class ResponseHead {
public:
  explicit ResponseHead(std::string_view Method)
      : IsToHead_(Method == "HEAD") {}

  /// Takes the next line, with or without its line end.
  void addLine(std::string_view Line);

  /// Nothing of a malformed response may be used.
  bool isMalformed() const { return Part_ == Part::Malformed; }
  /// The final head has ended and is well-formed.
  bool isComplete() const { return Part_ == Part::Complete; }
  /// Status of the current head; 200 to 599 once the head is complete.
  StatusCode status() const { return Status_; }
  /// False for responses that end with their head whatever length they state:
  /// those to HEAD requests, and with status 204 or 304. Precondition: the head
  /// is complete.
  bool hasBody() const;

  /// The stated length; the maximum for a number that does not fit.
  std::optional<ByteCount> length() const;

  /// Fields of the current head in the order of their arrival.
  const std::vector<Header> &fields() const { return Fields_; }
  std::vector<Header> takeFields() { return std::move(Fields_); }

private:
  enum class Part { StatusLine, Fields, Complete, Malformed };

  void addStatusLine(std::string_view Line);
  void addField(std::string_view Line);
  void addLength(std::string_view Value);
  void addEncoding(std::string_view Value);
  void end();

  bool IsToHead_;
  Part Part_ = Part::StatusLine;
  StatusCode Status_;
  std::vector<Header> Fields_;
  /// The stated length without leading zeros.
  std::optional<std::string> Length_;
  bool IsChunked_ = false;
};

} // namespace jaybridge
