#pragma once

#include <LibCore/Result.h>
#include <LibExchange/Credential.h>
#include <LibProfile/RoutePriority.h>
#include <LibProfile/Team.h>

#include <optional>
#include <vector>

namespace jaybridge {

/// Unvalidated values of a team.
struct TeamDraft {
  TeamName Name_;
  std::vector<Credential> Keys_;
  /// Takes precedence over the priority of the route.
  std::optional<RoutePriority> Priority_;
  /// A rate of 0 means no limit.
  std::optional<TeamLimit> Limit_;
};

/// A validated team. Its keys are known to the directory only.
struct Team {
  TeamName Name_;
  std::optional<RoutePriority> Priority_;
  /// The rate of a limit is above 0.
  std::optional<TeamLimit> Limit_;
};

/// The teams of one configuration version, by name and by key. Immutable, so
/// pointers to teams are valid as long as the directory.
class TeamDirectory {
public:
  TeamDirectory() = default;

  /// Errors: `Invalid` if a team has no name, a name with control characters,
  /// an empty key or a limit below 0, if a name is given twice, or if two teams
  /// have the same key. The error names the team, never the key.
  static Result<TeamDirectory> create(std::vector<TeamDraft> Drafts);

  /// Null when no team has the key.
  const Team *findByKey(const Credential &Key) const;
  const Team *find(const TeamName &Name) const;
  /// In the order of their names.
  const std::vector<Team> &teams() const { return Teams_; }
  TeamLimits limits() const;
  bool isEmpty() const { return Teams_.empty(); }

private:
  struct KeyEntry {
    std::uint64_t Hash_;
    Credential Key_;
    /// Index into Teams_.
    std::size_t Team_;
  };

  Status addKeys(const TeamName &Owner, std::vector<Credential> Keys,
                 std::size_t Team);
  Status indexKeys();

  std::vector<Team> Teams_;
  /// Ordered by hash.
  std::vector<KeyEntry> Keys_;
};

} // namespace jaybridge
