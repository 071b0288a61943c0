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
  Incarnation UpTo_;
};

/// An entry of the replicated log.
using RegistryCommand =
    std::variant<StoredDocument, DocumentDelta, StoreInstance, RemoveInstance>;

} // namespace jaybridge
