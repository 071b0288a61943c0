#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Result.h>

#include <string>

namespace jaybridge {

/// A complete configuration, in the text that the operator submitted.
struct StoredDocument {
  ConfigurationVersion Version_;
  std::string Text_;

  friend bool operator==(const StoredDocument &,
                         const StoredDocument &) = default;
};

} // namespace jaybridge
