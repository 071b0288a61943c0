# Functions that declare packages, programs and tests. A package can include
# headers of its declared dependencies only. A decision package may depend only
# on decision packages and the standard library.

set(JAYBRIDGE_WARNINGS -Wno-unknown-warning-option -Wall -Wextra -Wpedantic -Wshadow=local -Wnon-virtual-dtor
    -Wconversion -Wno-sign-conversion)
if(JAYBRIDGE_WARNINGS_AS_ERRORS)
  list(APPEND JAYBRIDGE_WARNINGS -Werror)
endif()

# Creates an include root in the build folder that contains only the package
# NAME, so that "#include <LibX/Header.h>" needs a dependency on LibX.
function(_jaybridge_include_root NAME OUT)
  set(ROOT ${CMAKE_BINARY_DIR}/include/${NAME})
  file(MAKE_DIRECTORY ${ROOT})
  file(CREATE_LINK ${CMAKE_CURRENT_SOURCE_DIR} ${ROOT}/${NAME} SYMBOLIC)
  set(${OUT} ${ROOT} PARENT_SCOPE)
endfunction()

# Declares a static library of all *.cpp files of the current folder.
# jaybridge_package(NAME LibX KIND DECISION|PLUMBING [DEPENDS LibY ...]
#                   [LIBRARIES external ...])
function(jaybridge_package)
  cmake_parse_arguments(P "" "NAME;KIND" "DEPENDS;LIBRARIES" ${ARGN})
  if(NOT P_KIND MATCHES "^(DECISION|PLUMBING)$")
    message(FATAL_ERROR "${P_NAME}: KIND must be DECISION or PLUMBING")
  endif()
  if(P_KIND STREQUAL "DECISION" AND P_LIBRARIES)
    message(FATAL_ERROR "${P_NAME}: a decision package must not link external libraries")
  endif()
  foreach(DEPENDENCY IN LISTS P_DEPENDS)
    get_property(DEPENDENCY_KIND GLOBAL PROPERTY JAYBRIDGE_KIND_${DEPENDENCY})
    if(NOT DEPENDENCY_KIND)
      message(FATAL_ERROR "${P_NAME}: ${DEPENDENCY} must be declared before it")
    endif()
    if(P_KIND STREQUAL "DECISION" AND NOT DEPENDENCY_KIND STREQUAL "DECISION")
      message(FATAL_ERROR "${P_NAME}: a decision package must not depend on the plumbing package ${DEPENDENCY}")
    endif()
  endforeach()
  set_property(GLOBAL PROPERTY JAYBRIDGE_KIND_${P_NAME} ${P_KIND})
  file(GLOB SOURCES CONFIGURE_DEPENDS *.cpp Generated/*.cpp)
  _jaybridge_include_root(${P_NAME} ROOT)
  add_library(${P_NAME} STATIC ${SOURCES})
  target_include_directories(${P_NAME} PUBLIC ${ROOT})
  target_compile_options(${P_NAME} PRIVATE ${JAYBRIDGE_WARNINGS})
  target_link_libraries(${P_NAME} PUBLIC ${P_DEPENDS} PRIVATE ${P_LIBRARIES})
endfunction()

# Declares a program of all *.cpp files of the current folder.
# jaybridge_program(NAME x DEPENDS LibY ... [LIBRARIES external ...])
function(jaybridge_program)
  cmake_parse_arguments(P "" "NAME" "DEPENDS;LIBRARIES" ${ARGN})
  file(GLOB SOURCES CONFIGURE_DEPENDS *.cpp)
  add_executable(${P_NAME} ${SOURCES})
  target_include_directories(${P_NAME} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
  target_compile_options(${P_NAME} PRIVATE ${JAYBRIDGE_WARNINGS})
  target_compile_definitions(${P_NAME} PRIVATE JAYBRIDGE_VERSION="${PROJECT_VERSION}")
  target_link_libraries(${P_NAME} PRIVATE ${P_DEPENDS} ${P_LIBRARIES} Threads::Threads)
endfunction()

# Builds all *.cpp files of the current folder into the test program TestLibX
# and registers each of its test cases with ctest.
# With SOURCES, only these files are built, and not by the folder's program
# without SOURCES, which must be declared later. With SERIAL, ctest runs no
# other test beside these.
# jaybridge_test(LibX [NAME program suffix] [SERIAL] [SOURCES file ...]
#                [DEPENDS LibY ...] [LIBRARIES external ...])
function(jaybridge_test PACKAGE)
  cmake_parse_arguments(P "SERIAL" "NAME" "SOURCES;DEPENDS;LIBRARIES" ${ARGN})
  if(NOT P_NAME)
    set(P_NAME ${PACKAGE})
  endif()
  file(GLOB SOURCES CONFIGURE_DEPENDS *.cpp)
  if(P_SOURCES)
    set(SOURCES ${P_SOURCES})
    list(FILTER P_SOURCES INCLUDE REGEX "^Test")
    set_property(DIRECTORY APPEND PROPERTY JAYBRIDGE_SEPARATE_TESTS ${P_SOURCES})
  else()
    get_property(SEPARATE DIRECTORY PROPERTY JAYBRIDGE_SEPARATE_TESTS)
    foreach(SOURCE IN LISTS SEPARATE)
      list(REMOVE_ITEM SOURCES ${CMAKE_CURRENT_SOURCE_DIR}/${SOURCE})
    endforeach()
  endif()
  set(TARGET Test${P_NAME})
  set(SERIAL_PROPERTY)
  if(P_SERIAL)
    set(SERIAL_PROPERTY RUN_SERIAL TRUE)
  endif()
  add_executable(${TARGET} ${SOURCES})
  target_include_directories(${TARGET} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}
                             ${PROJECT_SOURCE_DIR}/Tests)
  target_compile_options(${TARGET} PRIVATE ${JAYBRIDGE_WARNINGS})
  target_link_libraries(${TARGET} PRIVATE ${PACKAGE} ${P_DEPENDS} ${P_LIBRARIES}
                        gtest gtest_main Threads::Threads)
  gtest_discover_tests(${TARGET} NO_PRETTY_VALUES DISCOVERY_MODE PRE_TEST
                       PROPERTIES TIMEOUT 300 ${SERIAL_PROPERTY})
endfunction()
