#include <LibRegistry/DocumentDelta.h>

#include <LibCore/Hash.h>

#include <string_view>
#include <unordered_map>

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

/// Builds a delta piece by piece, in the order of the target.
class DeltaBuilder {
public:
  explicit DeltaBuilder(std::string_view Base)
      : Base_(Base), Pieces_(splitPieces(Base)) {}

  /// Following is the next piece of the target; empty at its end.
  void add(std::string_view Piece, std::string_view Following) {
    if (isAt(Next_, Piece))
      return copy(Next_);
    // Most changes replace or insert single pieces, behind which the target
    // continues like the base.
    if (isAt(Next_ + 1, Following)) {
      ++Next_;
      return addText(Piece);
    }
    if (isAt(Next_, Following))
      return addText(Piece);
    if (auto Found = find(Piece))
      return copy(*Found);
    addText(Piece);
  }

  std::size_t size() const { return Size_; }
  std::vector<std::variant<CopyRange, std::string>> take() {
    return std::move(Parts_);
  }

private:
  bool isAt(std::size_t Index, std::string_view Piece) const {
    return Index < Pieces_.size() && Pieces_[Index] == Piece;
  }
  std::optional<std::size_t> find(std::string_view Piece) {
    if (Indices_.empty())
      for (std::size_t Index = 0; Index < Pieces_.size(); ++Index)
        Indices_.try_emplace(Pieces_[Index], Index);
    if (auto Found = Indices_.find(Piece); Found != Indices_.end())
      return Found->second;
    return std::nullopt;
  }
  void copy(std::size_t Index) {
    const std::string_view Piece = Pieces_[Index];
    const std::uint64_t Offset = Piece.data() - Base_.data();
    Next_ = Index + 1;
    auto *Last =
        Parts_.empty() ? nullptr : std::get_if<CopyRange>(&Parts_.back());
    if (Last && Last->Offset_ + Last->Length_ == Offset) {
      Last->Length_ += Piece.size();
      return;
    }
    Parts_.emplace_back(CopyRange{Offset, Piece.size()});
    Size_ += CopyRangeSize;
  }
  void addText(std::string_view Piece) {
    Size_ += Piece.size();
    if (!Parts_.empty())
      if (auto *Text = std::get_if<std::string>(&Parts_.back())) {
        *Text += Piece;
        return;
      }
    Parts_.emplace_back(std::string(Piece));
  }

  std::string_view Base_;
  std::vector<std::string_view> Pieces_;
  /// Index of the piece behind the last one that was copied or replaced.
  std::size_t Next_ = 0;
  /// Indices of the pieces; empty until a search needs them.
  std::unordered_map<std::string_view, std::size_t> Indices_;
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
  const std::vector<std::string_view> Pieces = splitPieces(Target.Text_);
  for (std::size_t Index = 0; Index < Pieces.size(); ++Index)
    Builder.add(Pieces[Index], Index + 1 < Pieces.size() ? Pieces[Index + 1]
                                                         : std::string_view());
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
