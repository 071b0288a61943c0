#pragma once

#include <LibCore/Identifiers.h>
#include <LibUpstream/InstanceRecord.h>

#include <string>
#include <variant>

namespace jaybridge {

/// A whole configuration as its operator wrote it.
struct StoredDocument {
  ConfigurationVersion Version_;
  std::string Text_;

  friend bool operator==(const StoredDocument &,
                         const StoredDocument &) = default;
};

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
    std::variant<StoredDocument, StoreInstance, RemoveInstance>;

} // namespace jaybridge
