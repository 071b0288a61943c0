#pragma once

#include <gtest/gtest.h>

#include <string>

namespace jaybridge {

/// Name generator for INSTANTIATE_TEST_SUITE_P: names each parameter after its
/// member `Name_`, so that ctest shows a stable name instead of an index.
/// GoogleTest permits only ASCII letters, digits and underscores.
struct CaseName {
  template <typename Case>
  std::string operator()(const testing::TestParamInfo<Case> &Info) const {
    return Info.param.Name_;
  }
};

} // namespace jaybridge
