#pragma once

#include <LibRegistry/DocumentDelta.h>

#include <optional>

namespace jaybridge {

/// The configuration that a gateway has received. One version is read at a
/// time; of those that arrive meanwhile only the newest is read.
class ReceivedConfiguration {
public:
  /// The newest version received; it may not be in force yet.
  ConfigurationVersion version() const {
    return Newest_ ? Newest_->Version_ : ConfigurationVersion();
  }
  bool isReading() const { return Reading_.has_value(); }

  /// Keeps the document if it is newer.
  void receive(const StoredDocument &Received) {
    if (Received.Version_ > version())
      Newest_ = Received;
  }
  /// Applies the delta to the newest version, unless that is as new as its
  /// result. Errors: as of applyDelta().
  Status receive(const DocumentDelta &Delta) {
    if (!Newest_ || Delta.Version_ <= version())
      return success();
    JAYBRIDGE_TRY(Newest_, applyDelta(*Newest_, Delta));
    return success();
  }

  /// Returns the document to read now, if there is one and none is being read.
  std::optional<StoredDocument> startReading() {
    if (Reading_ || version() <= LastRead_)
      return std::nullopt;
    Reading_ = version();
    return Newest_;
  }
  void finishReading() {
    LastRead_ = Reading_.value_or(LastRead_);
    Reading_.reset();
  }
  /// The newest version that was read, also if it was invalid.
  ConfigurationVersion lastRead() const { return LastRead_; }

private:
  std::optional<StoredDocument> Newest_;
  std::optional<ConfigurationVersion> Reading_;
  ConfigurationVersion LastRead_;
};

} // namespace jaybridge
