#pragma once

#include <LibCore/Identifiers.h>

#include <vector>

namespace jaybridge {

/// Digest of a set of ejected instances; zero for the empty set. It does not
/// depend on the order in which instances were added.
using EjectionDigest = Ordinal<struct EjectionDigestTag>;

/// The difference between two sets of ejected instances. A change from the
/// empty set states the whole result.
struct EjectionChange {
  EjectionDigest Base_;
  EjectionDigest Result_;
  std::vector<InstanceId> Added_;
  std::vector<InstanceId> Removed_;

  friend bool operator==(const EjectionChange &,
                         const EjectionChange &) = default;
};

/// A set of ejected instances, whose copies in other daemons follow it by
/// changes.
class EjectionSet {
public:
  /// Sorted by id.
  const std::vector<InstanceId> &instances() const { return Instances_; }
  EjectionDigest digest() const { return Digest_; }

  /// Replaces the set by a sorted list.
  void assign(std::vector<InstanceId> Sorted);
  /// The change that turns a copy of Earlier into this set.
  EjectionChange changeFrom(const EjectionSet &Earlier) const;
  /// The change that turns any copy into this set.
  EjectionChange whole() const { return changeFrom(EjectionSet()); }
  /// Applies the change if it leads to this set already, has it as its base or
  /// states the whole result. Returns false otherwise, and when the result does
  /// not have the stated digest; the set is then empty.
  [[nodiscard]] bool apply(const EjectionChange &Change);

private:
  static EjectionDigest digestOf(const std::vector<InstanceId> &Instances);

  std::vector<InstanceId> Instances_;
  EjectionDigest Digest_;
};

} // namespace jaybridge
