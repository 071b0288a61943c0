#pragma once

#include <cstddef>
#include <vector>

namespace jaybridge {

/// Set of small indices with constant-time insertion, removal and access by
/// position, so that a random element costs the same in a pool of any size.
class IndexSet {
public:
  std::size_t size() const { return Members_.size(); }
  bool isEmpty() const { return Members_.empty(); }
  std::size_t at(std::size_t Position) const { return Members_[Position]; }

  /// The index must be a member.
  std::size_t positionOf(std::size_t Index) const {
    return Positions_[Index] - 1;
  }

  bool contains(std::size_t Index) const {
    return Index < Positions_.size() && Positions_[Index] != 0;
  }

  void insert(std::size_t Index) {
    if (contains(Index))
      return;
    if (Index >= Positions_.size())
      Positions_.resize(Index + 1);
    Members_.push_back(Index);
    Positions_[Index] = Members_.size();
  }

  void erase(std::size_t Index) {
    if (!contains(Index))
      return;
    std::size_t Last = Members_.back();
    Members_[Positions_[Index] - 1] = Last;
    Positions_[Last] = Positions_[Index];
    Positions_[Index] = 0;
    Members_.pop_back();
  }

private:
  std::vector<std::size_t> Members_;
  /// Position plus one of each index; 0 for indices that are not members.
  std::vector<std::size_t> Positions_;
};

} // namespace jaybridge
