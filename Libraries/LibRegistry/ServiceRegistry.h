#pragma once

#include <LibRegistry/RegistryCommand.h>

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace jaybridge {

/// The effect of a command. Removed instances are listed with the state Left.
struct RegistryChange {
  bool IsDocumentNew_ = false;
  std::vector<InstanceRecord> Instances_;

  bool isEmpty() const { return !IsDocumentNew_ && Instances_.empty(); }
};

/// A removed instance, remembered so that a delayed announcement cannot add it
/// again.
struct DepartedInstance {
  InstanceId Id_;
  Incarnation LastIncarnation_;
};

/// The complete state, for a snapshot of the replicated log.
struct RegistryState {
  std::optional<StoredDocument> Document_;
  std::vector<InstanceRecord> Instances_;
  std::vector<DepartedInstance> Departed_;
};

/// The configuration in force and the instances of all services, as agreed by
/// the control members. This is the state machine of the replicated log: the
/// same commands give the same state on all members.
class ServiceRegistry {
public:
  /// Limit of remembered removals; the oldest are forgotten first.
  static constexpr std::size_t MaxDeparted = 4096;
  static constexpr std::size_t MaxInstances = 200000;

  ServiceRegistry() = default;
  explicit ServiceRegistry(RegistryState State);

  RegistryChange apply(const RegistryCommand &Command);
  /// Returns whether the announcement would change the registry. Announcements
  /// of an instance are ordered by incarnation, and those of one incarnation by
  /// state.
  bool isNewer(const InstanceRecord &Announced) const;

  const std::optional<StoredDocument> &document() const { return Document_; }
  ConfigurationVersion version() const {
    return Document_ ? Document_->Version_ : ConfigurationVersion();
  }
  const std::map<InstanceId, InstanceRecord> &instances() const {
    return Instances_;
  }
  const InstanceRecord *find(const InstanceId &Id) const;
  RegistryState state() const;

private:
  RegistryChange applyCommand(const StoredDocument &Stored);
  /// A delta with another base version has no effect.
  RegistryChange applyCommand(const DocumentDelta &Delta);
  RegistryChange applyCommand(const StoreInstance &Stored);
  RegistryChange applyCommand(const RemoveInstance &Removed);
  /// Returns the other instance that is registered under the same address, or
  /// null.
  const InstanceRecord *
  findAddressHolder(const InstanceRecord &Announced) const;
  void removeInstance(const InstanceId &Id, Incarnation LastIncarnation,
                      RegistryChange &Change);

  std::optional<StoredDocument> Document_;
  std::map<InstanceId, InstanceRecord> Instances_;
  std::map<Endpoint, InstanceId> Addresses_;
  std::map<InstanceId, Incarnation> Departed_;
  std::deque<InstanceId> DepartureOrder_;
};

} // namespace jaybridge
