#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Result.h>

#include <string>

namespace jaybridge {

/// A whole configuration as its operator wrote it.
struct StoredDocument {
  ConfigurationVersion Version_;
  std::string Text_;

  friend bool operator==(const StoredDocument &,
                         const StoredDocument &) = default;
};

} // namespace jaybridge
