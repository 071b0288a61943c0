#pragma once

#include <LibRegistry/StoredDocument.h>

#include <optional>
#include <variant>
#include <vector>

namespace jaybridge {

/// A part of the base document that is kept.
struct CopyRange {
  std::uint64_t Offset_ = 0;
  std::uint64_t Length_ = 0;

  friend bool operator==(const CopyRange &, const CopyRange &) = default;
};

/// How a document follows from an earlier one. A change of one route of tens of
/// thousands is a few hundred bytes.
struct DocumentDelta {
  ConfigurationVersion Base_;
  ConfigurationVersion Version_;
  std::vector<std::variant<CopyRange, std::string>> Parts_;

  friend bool operator==(const DocumentDelta &,
                         const DocumentDelta &) = default;
};

/// The delta from one document to another; none when it would not be smaller
/// than half of the document.
std::optional<DocumentDelta> deltaBetween(const StoredDocument &Base,
                                          const StoredDocument &Newer);

/// Errors: Conflict when the delta is for another base, Damaged when it does
/// not fit the base.
Result<StoredDocument> applyDelta(const StoredDocument &Base,
                                  const DocumentDelta &Delta);

} // namespace jaybridge
