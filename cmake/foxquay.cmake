# Declares a module of the library, built from every .cc file in the current folder.
#
# foxquay_module(NAME DEPENDS module... LIBRARIES target...)
# DEPENDS names other modules; tools/check_layers.py checks the includes against
# the table in tools/layers.yaml.
function(foxquay_module NAME)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LIBRARIES" ${ARGN})
  file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  if(SOURCES)
    set(SCOPE PUBLIC)
    add_library(foxquay_${NAME} STATIC ${SOURCES})
  else()
    set(SCOPE INTERFACE)
    add_library(foxquay_${NAME} INTERFACE)
  endif()
  target_include_directories(foxquay_${NAME} ${SCOPE} ${PROJECT_SOURCE_DIR}/src)
  list(TRANSFORM ARG_DEPENDS PREPEND foxquay_)
  target_link_libraries(foxquay_${NAME} ${SCOPE} ${ARG_DEPENDS} ${ARG_LIBRARIES})
endfunction()

# Declares the tests of a module, built from every .cc file in the current folder.
#
# Each test case becomes a CTest test. FOXQUAY_RC_PARAMS fixes the seed of the
# property tests; RC adds RapidCheck parameters, such as the number of cases.
set(FOXQUAY_RC_PARAMS "seed=20261203" CACHE STRING "RapidCheck parameters of the tests")
function(foxquay_test NAME)
  cmake_parse_arguments(ARG "" "RC" "LIBRARIES" ${ARGN})
  file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  add_executable(test_${NAME} ${SOURCES})
  target_link_libraries(test_${NAME} PRIVATE foxquay_${NAME} ${ARG_LIBRARIES}
                        rapidcheck /usr/lib/libCatch2WithMain.a)
  catch_discover_tests(test_${NAME} TEST_PREFIX "${NAME}: "
    PROPERTIES ENVIRONMENT "RC_PARAMS=${FOXQUAY_RC_PARAMS} ${ARG_RC}" TIMEOUT 300)
endfunction()
