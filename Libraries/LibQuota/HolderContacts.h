#pragma once

#include <LibQuota/TokenMessages.h>

namespace jaybridge {

/// When a grantor heard its holders last.
class HolderContacts {
public:
  /// Returns true if the holder was silent or unknown before.
  bool hear(const MemberId &Holder, TimePoint Now) {
    return Heard_.insert_or_assign(Holder, Now).second;
  }
  /// Removes the holders that are silent for TokenHolderTimeout and passes each
  /// with its last time to Report.
  template <typename Function>
  void removeSilent(TimePoint Now, Function Report) {
    for (auto Entry = Heard_.begin(); Entry != Heard_.end();) {
      if (Now < Entry->second + TokenHolderTimeout) {
        ++Entry;
        continue;
      }
      Report(Entry->first, Entry->second);
      Entry = Heard_.erase(Entry);
    }
  }
  bool isEmpty() const { return Heard_.empty(); }

private:
  std::map<MemberId, TimePoint> Heard_;
};

} // namespace jaybridge
