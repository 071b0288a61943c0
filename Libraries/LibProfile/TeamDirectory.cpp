#include <LibProfile/TeamDirectory.h>

#include <algorithm>

namespace jaybridge {

namespace {

Error invalid(const TeamName &Name, std::string Message) {
  return Error{ErrorCode::Invalid, std::move(Message), Name.text()};
}

/// The name becomes the value of a header field.
bool hasControlCharacter(const std::string &Text) {
  constexpr unsigned char Delete = 0x7f;
  return std::any_of(Text.begin(), Text.end(), [](unsigned char Character) {
    return Character < ' ' || Character == Delete;
  });
}

/// False for NaN too.
bool isPermitted(const TeamLimit &Limit) {
  return Limit.Rate_ >= RequestRate(0) && Limit.Burst_ >= RequestTokens(0);
}

} // namespace

Result<TeamDirectory> TeamDirectory::create(std::vector<TeamDraft> Drafts) {
  std::sort(Drafts.begin(), Drafts.end(),
            [](const TeamDraft &Left, const TeamDraft &Right) {
              return Left.Name_ < Right.Name_;
            });
  TeamDirectory Created;
  Created.Teams_.reserve(Drafts.size());
  for (TeamDraft &Draft : Drafts) {
    if (Draft.Name_.isEmpty())
      return invalid(TeamName("teams"), "a team has no name");
    if (hasControlCharacter(Draft.Name_.text()))
      return invalid(TeamName("teams"), "a name has control characters");
    if (!Created.isEmpty() && Created.Teams_.back().Name_ == Draft.Name_)
      return invalid(Draft.Name_, "the team is defined twice");
    if (Draft.Limit_ && !isPermitted(*Draft.Limit_))
      return invalid(Draft.Name_, "the rate and burst must be at least 0");
    if (Draft.Limit_ && Draft.Limit_->Rate_ == RequestRate(0))
      Draft.Limit_.reset();
    JAYBRIDGE_TRY_STATUS(Created.addKeys(Draft.Name_, std::move(Draft.Keys_),
                                         Created.Teams_.size()));
    Created.Teams_.push_back(
        Team{std::move(Draft.Name_), Draft.Priority_, Draft.Limit_});
  }
  JAYBRIDGE_TRY_STATUS(Created.indexKeys());
  return Created;
}

Status TeamDirectory::addKeys(const TeamName &Owner,
                              std::vector<Credential> Keys, std::size_t Team) {
  for (Credential &Key : Keys) {
    if (Key.isEmpty())
      return invalid(Owner, "a key must not be empty");
    std::uint64_t Hash = Key.hash();
    Keys_.push_back(KeyEntry{Hash, std::move(Key), Team});
  }
  return success();
}

Status TeamDirectory::indexKeys() {
  std::stable_sort(Keys_.begin(), Keys_.end(),
                   [](const KeyEntry &Left, const KeyEntry &Right) {
                     return Left.Hash_ < Right.Hash_;
                   });
  // Keys with the same hash are adjacent; different ones among them are rare.
  for (auto Entry = Keys_.begin(); Entry != Keys_.end(); ++Entry)
    for (auto Other = std::next(Entry);
         Other != Keys_.end() && Other->Hash_ == Entry->Hash_; ++Other)
      if (Other->Team_ != Entry->Team_ && Other->Key_.isSameAs(Entry->Key_))
        return invalid(Teams_[Other->Team_].Name_,
                       "a key belongs to the team '" +
                           Teams_[Entry->Team_].Name_.text() + "' too");
  return success();
}

const Team *TeamDirectory::findByKey(const Credential &Key) const {
  std::uint64_t Hash = Key.hash();
  auto Entry =
      std::lower_bound(Keys_.begin(), Keys_.end(), Hash,
                       [](const KeyEntry &Candidate, std::uint64_t Sought) {
                         return Candidate.Hash_ < Sought;
                       });
  const Team *Found = nullptr;
  for (; Entry != Keys_.end() && Entry->Hash_ == Hash; ++Entry)
    if (Entry->Key_.isSameAs(Key))
      Found = &Teams_[Entry->Team_];
  return Found;
}

const Team *TeamDirectory::find(const TeamName &Name) const {
  auto Found =
      std::lower_bound(Teams_.begin(), Teams_.end(), Name,
                       [](const Team &Candidate, const TeamName &Sought) {
                         return Candidate.Name_ < Sought;
                       });
  return Found != Teams_.end() && Found->Name_ == Name ? &*Found : nullptr;
}

TeamLimits TeamDirectory::limits() const {
  TeamLimits Limits;
  for (const Team &Each : Teams_)
    if (Each.Limit_)
      Limits.emplace(Each.Name_, *Each.Limit_);
  return Limits;
}

} // namespace jaybridge
