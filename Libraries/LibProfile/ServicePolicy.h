#pragma once

#include <LibProfile/Profile.h>

namespace jaybridge {

/// The profile that a service runs under, as of one version.
struct ServicePolicy {
  ServiceName Service_;
  Profile Profile_;
  ConfigurationVersion Version_;
};

} // namespace jaybridge
