#pragma once

#include <LibProfile/Profile.h>

namespace jaybridge {

/// The profile assigned to a service, as of a configuration version.
struct ServicePolicy {
  ServiceName Service_;
  Profile Profile_;
  ConfigurationVersion Version_;
};

} // namespace jaybridge
