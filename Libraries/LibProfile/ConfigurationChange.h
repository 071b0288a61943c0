#pragma once

#include <LibProfile/Profile.h>

#include <string>
#include <variant>

namespace jaybridge {

struct CreateProfile {
  ProfileDraft Draft_;
  friend bool operator==(const CreateProfile &,
                         const CreateProfile &) = default;
};

/// Replaces all values of the profile named in the draft.
struct UpdateProfile {
  ProfileDraft Draft_;
  friend bool operator==(const UpdateProfile &,
                         const UpdateProfile &) = default;
};

/// Assigns a service to a profile, replacing its previous assignment, if any.
struct AssignService {
  ServiceName Service_;
  ProfileName Profile_;
  friend bool operator==(const AssignService &,
                         const AssignService &) = default;
};

using ConfigurationAction =
    std::variant<CreateProfile, UpdateProfile, AssignService>;

/// A configuration change requested by an operator. `BasedOn_` is the version
/// that the operator edited; a resend carries the same `RequestId_`.
struct ConfigurationChange {
  ChangeRequestId RequestId_;
  ConfigurationVersion BasedOn_;
  OperatorName Author_;
  WallTime At_{};
  ConfigurationAction Action_;

  friend bool operator==(const ConfigurationChange &,
                         const ConfigurationChange &) = default;
};

/// Maximum lengths of the text in a change.
inline constexpr ByteCount MaxAuthorLength{128};
inline constexpr ByteCount MaxRequestIdLength{64};

/// Validates the request id and the author. Errors: `Invalid`, naming the
/// field.
Status checkText(const ConfigurationChange &Change);

/// One line with the action and all of its values, as stored in the audit
/// trail.
std::string describe(const ConfigurationAction &Action);

/// The fields that differ, such as "floor 70 -> 80, weight 1 -> 2".
std::string describeDifference(const ProfileDraft &Before,
                               const ProfileDraft &After);

/// Hash of the base version, author and action, to distinguish a resend from
/// another change with the same request id. Excludes the time of sending, which
/// differs between resends.
Fingerprint contentFingerprint(const ConfigurationChange &Change);

} // namespace jaybridge
