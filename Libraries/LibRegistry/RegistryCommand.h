#pragma once

#include <LibRegistry/DocumentDelta.h>

#include <LibUpstream/InstanceRecord.h>

#include <variant>

namespace jaybridge {

/// Stores an instance that is new or changed its state.
struct StoreInstance {
  InstanceRecord Record_;
};

/// Removes an instance that left or timed out. A later start under the same id
/// is not affected.
struct RemoveInstance {
  InstanceId Id_;
  /// Newest incarnation that is removed; if there is none, the one that is
  /// registered when the command is applied.
  std::optional<Incarnation> LastIncarnation_;
};

/// An entry of the replicated log.
using RegistryCommand =
    std::variant<StoredDocument, DocumentDelta, StoreInstance, RemoveInstance>;

/// Returns the configuration version that the command sets; 0 for commands that
/// set none.
inline ConfigurationVersion versionOf(const RegistryCommand &Command) {
  if (const auto *Document = std::get_if<StoredDocument>(&Command))
    return Document->Version_;
  if (const auto *Delta = std::get_if<DocumentDelta>(&Command))
    return Delta->Version_;
  return {};
}

} // namespace jaybridge
