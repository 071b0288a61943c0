#pragma once

#include <LibRegistry/RegistryCommand.h>

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace jaybridge {

/// What a command changed. An instance that is gone has the state Left.
struct RegistryChange {
  bool IsDocumentNew_ = false;
  std::vector<InstanceRecord> Instances_;

  bool isEmpty() const { return !IsDocumentNew_ && Instances_.empty(); }
};

/// An instance that left, so that a delayed announcement cannot bring it back.
struct DepartedInstance {
  InstanceId Id_;
  Incarnation LastIncarnation_;
};

/// The whole state, for a snapshot of the replicated log.
struct RegistryState {
  std::optional<StoredDocument> Document_;
  std::vector<InstanceRecord> Instances_;
  std::vector<DepartedInstance> Departed_;
};

/// The configuration in force and the instances of all services, as agreed on
/// by the control members. The same commands give the same state everywhere.
class ServiceRegistry {
public:
  /// Departures that are remembered; the oldest is forgotten first.
  static constexpr std::size_t GreatestDeparted = 4096;
  static constexpr std::size_t GreatestInstances = 200000;

  ServiceRegistry() = default;
  explicit ServiceRegistry(RegistryState State);

  RegistryChange apply(const RegistryCommand &Command);
  /// Whether the announcement would change anything. The versions order an
  /// instance's starts, its states the announcements of one start.
  bool isNews(const InstanceRecord &Announced) const;

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
  RegistryChange applyEach(const StoredDocument &Stored);
  /// A delta for another base changes nothing.
  RegistryChange applyEach(const DocumentDelta &Delta);
  RegistryChange applyEach(const StoreInstance &Stored);
  RegistryChange applyEach(const RemoveInstance &Removed);
  /// The instance that holds the address, if another one does.
  const InstanceRecord *holderOf(const InstanceRecord &Wanted) const;
  void depart(const InstanceId &Id, Incarnation UpTo, RegistryChange &Change);

  std::optional<StoredDocument> Document_;
  std::map<InstanceId, InstanceRecord> Instances_;
  std::map<Endpoint, InstanceId> Addresses_;
  std::map<InstanceId, Incarnation> Departed_;
  std::deque<InstanceId> DepartureOrder_;
};

} // namespace jaybridge
