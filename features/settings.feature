Feature: Command line
  Scenario: The package can be imported
    When the package is imported
    Then it names its base error
