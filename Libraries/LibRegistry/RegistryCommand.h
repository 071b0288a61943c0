#pragma once

#include <LibRegistry/DocumentDelta.h>

#include <LibUpstream/InstanceRecord.h>

#include <variant>

namespace jaybridge {

/// An instance arrived or changed its state.
struct StoreInstance {
  InstanceRecord Record_;
};

/// An instance left, or was not heard of for too long. Later starts under the
/// same id are not concerned.
struct RemoveInstance {
  InstanceId Id_;
  Incarnation LastIncarnation_;
};

/// An entry of the replicated log.
using RegistryCommand =
    std::variant<StoredDocument, DocumentDelta, StoreInstance, RemoveInstance>;

/// The version of the configuration that the command brings; 0 for others.
inline ConfigurationVersion versionOf(const RegistryCommand &Command) {
  if (const auto *Document = std::get_if<StoredDocument>(&Command))
    return Document->Version_;
  if (const auto *Delta = std::get_if<DocumentDelta>(&Command))
    return Delta->Version_;
  return {};
}

} // namespace jaybridge
