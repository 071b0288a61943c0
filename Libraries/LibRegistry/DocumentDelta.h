#pragma once

#include <LibRegistry/StoredDocument.h>

#include <optional>
#include <variant>
#include <vector>

namespace jaybridge {

/// A range of bytes to copy from the base document.
struct CopyRange {
  std::uint64_t Offset_ = 0;
  std::uint64_t Length_ = 0;

  friend bool operator==(const CopyRange &, const CopyRange &) = default;
};

/// Hash of the text of a document.
using DocumentDigest = Ordinal<struct DocumentDigestTag>;

/// Difference between two versions of a document: ranges to copy from the base
/// and new text, in order. For a change of one route among tens of thousands it
/// is a few hundred bytes long.
struct DocumentDelta {
  ConfigurationVersion Base_;
  ConfigurationVersion Version_;
  std::vector<std::variant<CopyRange, std::string>> Parts_;
  /// Digest of the resulting text. It detects a base with the same version and
  /// another text. 0 in deltas of earlier versions of the protocol, which are
  /// not checked.
  DocumentDigest Result_{};

  friend bool operator==(const DocumentDelta &,
                         const DocumentDelta &) = default;
};

/// Returns the delta from one document to another, or none if it would exceed
/// half the size of the target document.
std::optional<DocumentDelta> computeDelta(const StoredDocument &Base,
                                          const StoredDocument &Target);

/// Errors: Conflict if the delta has another base version, Damaged if a range
/// exceeds the base or the result is not the document that the delta was
/// computed for.
Result<StoredDocument> applyDelta(const StoredDocument &Base,
                                  const DocumentDelta &Delta);

} // namespace jaybridge
