#pragma once

#include <LibCore/Result.h>
#include <LibUpstream/InstanceRecord.h>

#include <optional>
#include <string>

namespace jaybridge {

/// State and load that an instance reports of itself.
struct Announcement {
  InstanceRecord Record_;
  /// Slots in use, as counted by the instance.
  std::optional<SlotCount> BusySlots_;
};

/// Parses an instance's announcement: a JSON object with instance, service,
/// address, failure_domain, slots, state (serving, draining, left), version and
/// optionally busy. Fails with `Invalid`; the error names the field.
Result<Announcement> readAnnouncement(const std::string &Text);

} // namespace jaybridge
