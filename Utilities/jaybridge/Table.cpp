#include <Table.h>

#include <algorithm>

namespace jaybridge {

std::string Table::text() const {
  std::vector<std::size_t> Widths;
  for (const auto &Row : Rows_) {
    Widths.resize(std::max(Widths.size(), Row.size()));
    for (std::size_t Column = 0; Column < Row.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Row[Column].size());
  }
  std::string Text;
  for (const auto &Row : Rows_) {
    std::string Line;
    for (std::size_t Column = 0; Column < Row.size(); ++Column) {
      Line += Row[Column];
      if (Column + 1 < Row.size())
        Line.append(Widths[Column] - Row[Column].size() + 2, ' ');
    }
    Text += Line + "\n";
  }
  return Text;
}

} // namespace jaybridge
