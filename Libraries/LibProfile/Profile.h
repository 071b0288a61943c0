#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibCore/Units.h>

namespace jaybridge {

/// Whether requests of a profile may run more than once.
enum class Repeatability { Repeatable, AtMostOnce };

/// Values of a profile before they were checked.
struct ProfileDraft {
  ProfileName Name_;
  Repeatability Repeatability_ = Repeatability::AtMostOnce;
  /// How long a caller waits when it states no deadline.
  Duration Patience_ = std::chrono::seconds(5);
  /// Share of serving instances that ejection must leave in use.
  Percentage Floor_ = Percentage(70);
  ClassWeight Weight_ = ClassWeight(1);
  /// Retries and hedges as a share of first attempts.
  Percentage RetryBudget_ = Percentage(10);
  bool IsHedgingAllowed_ = false;
  /// Chance that the test for ejection blames a healthy instance.
  ErrorRate FalseEjectionRate_ = ErrorRate(1e-4);
  /// Chance that the test for ejection clears a bad instance.
  ErrorRate MissedDetectionRate_ = ErrorRate(1e-2);

  friend bool operator==(const ProfileDraft &, const ProfileDraft &) = default;
};

/// How a kind of traffic is treated. Exists only with permitted values.
class Profile {
public:
  static constexpr Duration MinPatience = std::chrono::milliseconds(1);
  static constexpr Duration MaxPatience = std::chrono::minutes(5);
  static constexpr std::size_t MaxNameLength = 64;
  static constexpr ClassWeight MaxWeight{1000};
  static constexpr ErrorRate MinErrorRate{1e-9};
  static constexpr ErrorRate MaxErrorRate{0.2};

  /// Errors name the field and the permitted range.
  static Result<Profile> create(ProfileDraft Draft);

  const ProfileName &name() const { return Values_.Name_; }
  Repeatability repeatability() const { return Values_.Repeatability_; }
  bool isRepeatable() const {
    return Values_.Repeatability_ == Repeatability::Repeatable;
  }
  Duration patience() const { return Values_.Patience_; }
  Percentage floor() const { return Values_.Floor_; }
  ClassWeight weight() const { return Values_.Weight_; }
  Percentage retryBudget() const { return Values_.RetryBudget_; }
  bool isHedgingAllowed() const { return Values_.IsHedgingAllowed_; }
  ErrorRate falseEjectionRate() const { return Values_.FalseEjectionRate_; }
  ErrorRate missedDetectionRate() const { return Values_.MissedDetectionRate_; }
  /// The checked values, for encoding.
  const ProfileDraft &values() const { return Values_; }

  friend bool operator==(const Profile &, const Profile &) = default;

private:
  explicit Profile(ProfileDraft Values) : Values_(std::move(Values)) {}

  ProfileDraft Values_;
};

/// Lower-case letters, digits, '-' and '.', 1 to 64 of them: the permitted
/// names of profiles and services.
bool isPermittedName(const std::string &Text);

} // namespace jaybridge
