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

/// Replaces all values of the profile that has the draft's name.
struct UpdateProfile {
  ProfileDraft Draft_;
  friend bool operator==(const UpdateProfile &,
                         const UpdateProfile &) = default;
};

/// Lets a service run under a profile, instead of the one before, if any.
struct AssignService {
  ServiceName Service_;
  ProfileName Profile_;
  friend bool operator==(const AssignService &,
                         const AssignService &) = default;
};

using ConfigurationAction =
    std::variant<CreateProfile, UpdateProfile, AssignService>;

/// What an operator asks for. `BasedOn_` is the version that the operator saw;
/// `RequestId_` stays the same when the change is sent again.
struct ConfigurationChange {
  ChangeRequestId RequestId_;
  ConfigurationVersion BasedOn_;
  OperatorName Author_;
  WallTime At_{};
  ConfigurationAction Action_;

  friend bool operator==(const ConfigurationChange &,
                         const ConfigurationChange &) = default;
};

/// Permitted sizes of the text in a change.
inline constexpr ByteCount MaxAuthorLength{128};
inline constexpr ByteCount MaxRequestIdLength{64};

/// Checks the text of a change: request id and author.
Status checkText(const ConfigurationChange &Change);

/// One line that names the action and every value in it.
std::string describe(const ConfigurationAction &Action);

/// The fields of the draft that differ, as "floor 70 -> 80, weight 1 -> 2".
std::string describeDifference(const ProfileDraft &Before,
                               const ProfileDraft &After);

/// Equal for a change and its resends; differs when the same request id comes
/// with other content. The time of sending does not count.
Fingerprint contentFingerprint(const ConfigurationChange &Change);

} // namespace jaybridge
