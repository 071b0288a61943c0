#pragma once

#include <LibCore/Result.h>
#include <LibProfile/RoutingTable.h>
#include <LibRegistry/StoredDocument.h>

#include <concepts>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace jaybridge {

/// Requests the routing table of a document.
struct ReadDocument {
  StoredDocument Document_;
};

/// The routing table of a document, or the reason why it has none.
struct DocumentRead {
  ConfigurationVersion Version_;
  Result<std::shared_ptr<const RoutingTable>> Table_;
};

/// Parses the text of a configuration into its routing table. It may reuse what
/// the previous text has in common with it.
template <typename Reader>
concept DocumentReader = std::default_initializable<Reader> &&
    requires(Reader &Object, const std::string &Text) {
  { Object.read(Text) } -> std::same_as<Result<RoutingTable>>;
};

/// Reads the documents of a gateway. A duty of its own, since a large document
/// takes longer than departures, limits of teams and heartbeats may wait.
template <DocumentReader Reader> class DocumentReading {
public:
  using Event = ReadDocument;
  using Effect = DocumentRead;

  explicit DocumentReading(Reader Used = {}) : Reader_(std::move(Used)) {}

  void handle(const ReadDocument &Request, TimePoint,
              std::vector<DocumentRead> &Out) {
    const ConfigurationVersion Version = Request.Document_.Version_;
    auto Table = Reader_.read(Request.Document_.Text_);
    if (Table)
      Out.push_back(
          {Version, std::make_shared<const RoutingTable>(Table.takeValue())});
    else
      Out.push_back({Version, Table.takeError()});
  }
  void advance(TimePoint, std::vector<DocumentRead> &) {}
  std::optional<TimePoint> nextDeadline() const { return std::nullopt; }

private:
  Reader Reader_;
};

} // namespace jaybridge
