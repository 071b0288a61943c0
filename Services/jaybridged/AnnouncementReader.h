#pragma once

#include <LibCore/Result.h>
#include <LibUpstream/InstanceRecord.h>

#include <optional>
#include <string>

namespace jaybridge {

struct Announcement {
  InstanceRecord Record_;
  /// Slots in use by the instance's own count.
  std::optional<SlotCount> Busy_;
};

/// Reads an instance's announcement: JSON with instance, service, address,
/// failure_domain, slots, state (serving, draining, left), version and
/// optionally busy. Errors name the field.
Result<Announcement> readAnnouncement(const std::string &Text);

} // namespace jaybridge
