#include <LibRegistry/DocumentDelta.h>

#include <LibCore/Hash.h>

#include <map>
#include <string_view>

namespace jaybridge {

namespace {

/// Approximate encoded size of a copy range in bytes.
constexpr std::size_t CopyRangeSize = 16;

/// Splits the text after each closing brace, where an entry ends in the usual
/// configuration formats.
std::vector<std::string_view> splitPieces(std::string_view Text) {
  std::vector<std::string_view> Pieces;
  while (!Text.empty()) {
    std::size_t End = std::min(Text.find('}'), Text.size() - 1) + 1;
    Pieces.push_back(Text.substr(0, End));
    Text.remove_prefix(End);
  }
  return Pieces;
}

class DeltaBuilder {
public:
  explicit DeltaBuilder(std::string_view Base) : Base_(Base) {
    for (std::string_view Piece : splitPieces(Base))
      Offsets_.try_emplace(Piece, Piece.data() - Base.data());
  }

  void add(std::string_view Piece) {
    // Extends the last copy range if possible: equal pieces may occur at
    // several offsets of the base.
    if (CopyRange *Last = lastRange();
        Last &&
        Base_.substr(Last->Offset_ + Last->Length_).starts_with(Piece)) {
      Last->Length_ += Piece.size();
      return;
    }
    if (auto Found = Offsets_.find(Piece); Found != Offsets_.end()) {
      Parts_.emplace_back(CopyRange{Found->second, Piece.size()});
      Size_ += CopyRangeSize;
      return;
    }
    Size_ += Piece.size();
    if (!Parts_.empty())
      if (auto *Text = std::get_if<std::string>(&Parts_.back())) {
        *Text += Piece;
        return;
      }
    Parts_.emplace_back(std::string(Piece));
  }

  std::size_t size() const { return Size_; }
  std::vector<std::variant<CopyRange, std::string>> take() {
    return std::move(Parts_);
  }

private:
  CopyRange *lastRange() {
    return Parts_.empty() ? nullptr : std::get_if<CopyRange>(&Parts_.back());
  }

  std::string_view Base_;
  std::map<std::string_view, std::uint64_t> Offsets_;
  std::vector<std::variant<CopyRange, std::string>> Parts_;
  std::size_t Size_ = 0;
};

DocumentDigest digestOf(const std::string &Text) {
  return DocumentDigest(stableHash(Text));
}

} // namespace

std::optional<DocumentDelta> computeDelta(const StoredDocument &Base,
                                          const StoredDocument &Target) {
  DeltaBuilder Builder(Base.Text_);
  for (std::string_view Piece : splitPieces(Target.Text_))
    Builder.add(Piece);
  if (Builder.size() > Target.Text_.size() / 2)
    return std::nullopt;
  return DocumentDelta{Base.Version_, Target.Version_, Builder.take(),
                       digestOf(Target.Text_)};
}

Result<StoredDocument> applyDelta(const StoredDocument &Base,
                                  const DocumentDelta &Delta) {
  if (Base.Version_ != Delta.Base_)
    return Error{ErrorCode::Conflict,
                 "the delta is based on version " +
                     std::to_string(Delta.Base_.value()) + ", not " +
                     std::to_string(Base.Version_.value()),
                 {}};
  StoredDocument Target;
  Target.Version_ = Delta.Version_;
  for (const auto &Part : Delta.Parts_) {
    if (const auto *Text = std::get_if<std::string>(&Part)) {
      Target.Text_ += *Text;
      continue;
    }
    const auto &Range = std::get<CopyRange>(Part);
    if (Range.Offset_ > Base.Text_.size() ||
        Range.Length_ > Base.Text_.size() - Range.Offset_)
      return Error{ErrorCode::Damaged,
                   "the delta copies bytes beyond the end of its base",
                   {}};
    Target.Text_.append(Base.Text_, Range.Offset_, Range.Length_);
  }
  if (Delta.Result_ != DocumentDigest() &&
      Delta.Result_ != digestOf(Target.Text_))
    return Error{ErrorCode::Damaged,
                 "the delta is based on another document of the same version",
                 {}};
  return Target;
}

} // namespace jaybridge
