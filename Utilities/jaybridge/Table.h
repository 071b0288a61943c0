#pragma once

#include <string>
#include <vector>

namespace jaybridge {

/// Text table with aligned columns.
class Table {
public:
  explicit Table(std::vector<std::string> Titles) {
    Rows_.push_back(std::move(Titles));
  }

  void add(std::vector<std::string> Cells) {
    Rows_.push_back(std::move(Cells));
  }
  std::string text() const;

private:
  std::vector<std::vector<std::string>> Rows_;
};

} // namespace jaybridge
