#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibCore/Units.h>

namespace jaybridge {

/// Whether requests of a profile may be executed more than once.
enum class Repeatability { Repeatable, AtMostOnce };

/// Unvalidated values of a profile.
struct ProfileDraft {
  ProfileName Name_;
  Repeatability Repeatability_ = Repeatability::AtMostOnce;
  /// Time to answer a request whose caller states no deadline.
  Duration Patience_ = std::chrono::seconds(5);
  /// Minimum share of the serving instances that ejection leaves in use.
  Percentage Floor_ = Percentage(70);
  ClassWeight Weight_ = ClassWeight(1);
  /// Maximum number of retries and hedges as a share of first attempts.
  Percentage RetryBudget_ = Percentage(10);
  bool IsHedgingAllowed_ = false;
  /// Probability that the ejection test finds a healthy instance faulty (false
  /// positive).
  ErrorRate FalseEjectionRate_ = ErrorRate(1e-4);
  /// Probability that the ejection test finds a faulty instance healthy (false
  /// negative).
  ErrorRate MissedDetectionRate_ = ErrorRate(1e-2);

  friend bool operator==(const ProfileDraft &, const ProfileDraft &) = default;
};

/// Rules for one class of traffic: deadline, retries, hedging and ejection. A
/// constructed profile has passed validation.
class Profile {
public:
  static constexpr Duration MinPatience = std::chrono::milliseconds(1);
  static constexpr Duration MaxPatience = std::chrono::minutes(5);
  static constexpr std::size_t MaxNameLength = 64;
  static constexpr ClassWeight MaxWeight{1000};
  static constexpr ErrorRate MinErrorRate{1e-9};
  static constexpr ErrorRate MaxErrorRate{0.2};

  /// Errors: `Invalid`, naming the field and the permitted range.
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
  /// The validated values, for encoding.
  const ProfileDraft &values() const { return Values_; }

  friend bool operator==(const Profile &, const Profile &) = default;

private:
  explicit Profile(ProfileDraft Values) : Values_(std::move(Values)) {}

  ProfileDraft Values_;
};

/// Whether Text is a permitted name of a profile or service: 1 to 64 lower-case
/// letters, digits, '-' and '.'.
bool isPermittedName(const std::string &Text);

} // namespace jaybridge
