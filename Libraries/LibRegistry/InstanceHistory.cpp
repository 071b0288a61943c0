#include <LibRegistry/InstanceHistory.h>

#include <algorithm>
#include <map>

namespace jaybridge {

void InstanceHistory::clear() {
  Changes_.clear();
  RecordCount_ = 0;
}

void InstanceHistory::record(LogIndex Base, LogIndex Revision,
                             const std::vector<InstanceRecord> &Changed) {
  if (!Changes_.empty() && Changes_.back().Revision_ != Base)
    clear();
  Changes_.push_back(Change{Base, Revision, Changed});
  // Changes of the configuration alone count too, to bound their number.
  RecordCount_ += Changed.size() + 1;
  while (RecordCount_ > MaxRecords) {
    RecordCount_ -= Changes_.front().Changed_.size() + 1;
    Changes_.pop_front();
  }
}

std::optional<std::vector<InstanceRecord>>
InstanceHistory::since(LogIndex Revision) const {
  auto First = std::lower_bound(Changes_.begin(), Changes_.end(), Revision,
                                [](const Change &Earlier, LogIndex Wanted) {
                                  return Earlier.Base_ < Wanted;
                                });
  if (First == Changes_.end() || First->Base_ != Revision)
    return std::nullopt;
  std::map<InstanceId, const InstanceRecord *> Latest;
  for (auto Next = First; Next != Changes_.end(); ++Next)
    for (const InstanceRecord &Record : Next->Changed_)
      Latest[Record.Id_] = &Record;
  std::vector<InstanceRecord> Records;
  Records.reserve(Latest.size());
  for (const auto &[Id, Record] : Latest)
    Records.push_back(*Record);
  return Records;
}

} // namespace jaybridge
